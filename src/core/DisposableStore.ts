import { Disposable } from "./Disposable";

/** Owns disposables and disposes of each once, in reverse order of addition. */
export class DisposableStore {
    private items: Disposable[] = [];
    private disposed = false;

    /** Adds an item and returns it. An item added after disposal is disposed of at once. */
    public add<Item extends Disposable>(item: Item): Item {
        if (this.disposed) {
            void item.dispose();
            return item;
        }
        this.items.push(item);
        return item;
    }

    /** Removes an item without disposing of it; the caller does that. */
    public remove(item: Disposable): void {
        this.items = this.items.filter((other) => other !== item);
    }

    /** Calls `action` every `intervalMs` until the store is disposed of. */
    public every(intervalMs: number, action: () => void): void {
        const timer = setInterval(action, intervalMs);
        this.add({ dispose: () => clearInterval(timer) });
    }

    public async dispose(): Promise<void> {
        this.disposed = true;
        const items = this.items.reverse();
        this.items = [];
        for (const item of items) {
            await item.dispose();
        }
    }
}
