import { ReadTurns } from "../ReadTurns";

const nextTurn = () => new Promise<void>((resolve) => setImmediate(resolve));

describe("ReadTurns", () => {
    // Guards against connections that are read without end while the requests of all others wait.
    test("lets one connection continue in each turn of the event loop, in order", async () => {
        const turns = new ReadTurns();
        const proceeded: string[] = [];
        const read = (name: string): void =>
            turns.wait(() => {
                proceeded.push(name);
                if (proceeded.length < 6) {
                    read(name);
                }
            });
        ["a", "b", "c"].forEach(read);
        expect(proceeded).toEqual([]);
        for (let count = 1; count <= 6; count += 1) {
            await nextTurn();
            expect(proceeded.length).toBeLessThanOrEqual(count);
        }
        for (let count = 0; count < 6; count += 1) {
            await nextTurn();
        }
        expect(proceeded.slice(0, 6)).toEqual(["a", "b", "c", "a", "b", "c"]);
    });

    test("are over once reading has taken long in one turn, and begin again in the next one", async () => {
        const turns = new ReadTurns();
        turns.begin(1_000);
        turns.begin(1_008);
        expect(turns.isOver(1_009)).toBe(false);
        expect(turns.isOver(1_020)).toBe(true);
        await nextTurn();
        turns.begin(1_021);
        expect(turns.isOver(1_022)).toBe(false);
    });
});
