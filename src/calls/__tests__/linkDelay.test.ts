import { linkDelay } from "../linkDelay";

type Transit = Parameters<typeof linkDelay.record>[1];

/** Difference between the clocks of the two ends. */
const OFFSET_MS = 123_456;

/** A message that took so long, by clocks that don't agree. */
const transit = (sentAtMs: number, tookMs: number, change: Partial<Transit> = {}): Transit => ({
    sentAtMs,
    receivedAtMs: sentAtMs + OFFSET_MS + tookMs,
    roundTripMs: undefined,
    unreadMs: 0,
    ...change,
});

const ageAfter = (...transits: readonly Transit[]): number =>
    linkDelay.ageMs(transits.reduce(linkDelay.record, linkDelay.empty), transits[transits.length - 1]);

/** Messages of a quiet link, one each 100 ms. */
const quiet = (count: number, fromMs = 0): readonly Transit[] =>
    Array.from({ length: count }, (_, index) => transit(fromMs + index * 100, 2 + (index % 3)));

describe("linkDelay", () => {
    test("counts what a message took beyond the fastest one", () => {
        expect(ageAfter(...quiet(20), transit(2_000, 702))).toBe(700);
        expect(ageAfter(...quiet(20), transit(2_000, 3))).toBe(1);
    });

    test("counts on a new link what the receiver left unread, until a round trip shows that it was less", () => {
        expect(ageAfter(transit(0, 700, { unreadMs: 650 }))).toBe(650);
        expect(ageAfter(transit(0, 700))).toBe(0);
        expect(ageAfter(transit(0, 2, { roundTripMs: 5 }), transit(100, 2, { unreadMs: 650 }))).toBe(5);
        const answered = quiet(20).map((one) => ({ ...one, roundTripMs: 5 }));
        expect(ageAfter(...answered, transit(2_000, 2, { unreadMs: 650 }))).toBeLessThanOrEqual(5);
    });

    test("keeps the closest bound of earlier round trips, whose results may have been read late", () => {
        const transits = [900, 40, 900].map((roundTripMs, index) => transit(index * 100, 10, { roundTripMs }));
        expect(ageAfter(...transits, transit(400, 10, { unreadMs: 650, roundTripMs: 900 }))).toBe(40);
    });

    test("uses no round trip from before the receiver was suspended", () => {
        const suspendedMs = 5_000;
        const answered = quiet(20).map((one) => ({ ...one, roundTripMs: 5 }));
        const late = transit(8_000, 700, { unreadMs: 650 });
        const received = { ...late, receivedAtMs: late.receivedAtMs - suspendedMs };
        expect(ageAfter(...answered, received)).toBe(650);
    });

    // Guards against GONE: a link whose messages were all read in one late turn took the least of their delays for none.
    test("counts what the receiver left unread, however many messages came late together", () => {
        const burst = Array.from({ length: 20 }, (_, index) => transit(index, 700 - index, { unreadMs: 650 }));
        expect(ageAfter(...burst)).toBeGreaterThanOrEqual(650);
    });

    test("counts no more than the round trip, for example once the sender was suspended and its clock stood still", () => {
        const suspendedMs = 5_000;
        expect(ageAfter(...quiet(20), transit(2_000, suspendedMs + 2, { roundTripMs: 6 }))).toBe(6);
    });

    test("follows a receiver that was suspended at once, since its messages seem to take less", () => {
        const later = quiet(20, 2_000).map((one) => ({ ...one, receivedAtMs: one.receivedAtMs - 5_000 }));
        expect(ageAfter(...quiet(20), ...later)).toBeLessThanOrEqual(2);
    });

    test("follows a path that became longer within two windows", () => {
        const longer = Array.from({ length: 220 }, (_, index) => transit(2_000 + index * 100, 60));
        expect(ageAfter(...quiet(20), longer[0])).toBe(58);
        expect(ageAfter(...quiet(20), ...longer)).toBe(0);
    });

    test("treats a link that was idle like a new one", () => {
        expect(ageAfter(...quiet(20), transit(60_000, 900, { unreadMs: 400 }))).toBe(400);
    });
});
