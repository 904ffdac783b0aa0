import { coldness } from "../coldness";

const warmAt = (ms: number) => coldness.state(coldness.unknown, coldness.heartbeat(0, ms), ms);

describe("a backend server", () => {
    // Guards against a restarted node that takes the backend server beside it for warm.
    test("counts as cold until it has stated otherwise", () => {
        expect(coldness.isCold(coldness.unknown, 5)).toBe(true);
        expect(coldness.isCold(warmAt(1_000), 1_000)).toBe(false);
    });

    test("is cold for as long as it states, and again when it states so again", () => {
        const cold = coldness.state(warmAt(1_000), coldness.heartbeat(800, 2_000), 2_000);
        expect(coldness.isCold(cold, 2_799)).toBe(true);
        expect(coldness.isCold(cold, 2_801)).toBe(false);
        const again = coldness.state(cold, coldness.heartbeat(500, 3_000), 3_000);
        expect(coldness.isStated(again, 3_400)).toBe(true);
    });

    // Guards against a statement of the process that crashed, which arrives after the connection was reset.
    test("that may have restarted is cold until a statement that was certainly made later", () => {
        const suspected = coldness.suspect(warmAt(1_000), 2_000);
        const late = coldness.state(suspected, { notBeforeMs: 1_990, coldRemainingMs: 0 }, 2_300);
        expect(coldness.isCold(late, 2_300)).toBe(true);
        expect(coldness.isStated(late, 2_300)).toBe(false);
        const newer = coldness.state(late, { notBeforeMs: 2_301, coldRemainingMs: 0 }, 2_310);
        expect(coldness.isCold(newer, 2_310)).toBe(false);
    });

    // Guards against a heartbeat that was under way when the process crashed.
    test("that may have restarted stays cold after a heartbeat that may have been sent before", () => {
        const suspected = coldness.suspect(warmAt(1_000), 2_000);
        const early = coldness.state(suspected, coldness.heartbeat(0, 2_050), 2_050);
        expect(coldness.isCold(early, 2_050)).toBe(true);
        const late = coldness.state(early, coldness.heartbeat(0, 11_900), 11_900);
        expect(coldness.isCold(late, 11_900)).toBe(true);
        expect(coldness.isCold(coldness.state(late, coldness.heartbeat(0, 12_100), 12_100), 12_100)).toBe(false);
    });

    // Guards against a heartbeat that was made before it became cold and arrives seconds late.
    test("that stated that it is cold stays so when a warm heartbeat arrives that may be seconds old", () => {
        const cold = coldness.state(warmAt(1_000), { notBeforeMs: 1_990, coldRemainingMs: 3_000 }, 2_000);
        const late = coldness.state(cold, coldness.heartbeat(0, 4_900), 4_900);
        expect(coldness.isStated(late, 4_900)).toBe(true);
        const checked = coldness.state(late, { notBeforeMs: 4_901, coldRemainingMs: 0 }, 4_910);
        expect(coldness.isCold(checked, 4_910)).toBe(false);
    });

    // Guards against a late health check response that revokes a newer statement.
    test("that stated that it is cold stays so if an older statement that it was warm arrives later", () => {
        const cold = coldness.state(warmAt(1_000), coldness.heartbeat(800, 2_000), 2_000);
        const late = coldness.state(cold, { notBeforeMs: 1_999, coldRemainingMs: 0 }, 2_100);
        expect(coldness.isCold(late, 2_100)).toBe(true);
        expect(coldness.isCold(coldness.state(late, { notBeforeMs: 2_101, coldRemainingMs: 0 }, 2_110), 2_110)).toBe(
            false,
        );
    });
});
