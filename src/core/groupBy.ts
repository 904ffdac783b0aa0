/** Groups items by key. The items of a group keep their order. */
export const groupBy = <Item, Key>(
    items: Iterable<Item>,
    keyOf: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> => {
    const groups = new Map<Key, Item[]>();
    for (const item of items) {
        const key = keyOf(item);
        const group = groups.get(key);
        if (group) {
            group.push(item);
        }
        else {
            groups.set(key, [item]);
        }
    }
    return groups;
};
