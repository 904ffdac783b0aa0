/** The numbers by which evidence on a move tells the versions apart. */
export const moveVersions = { others: 0, target: 1 } as const;
