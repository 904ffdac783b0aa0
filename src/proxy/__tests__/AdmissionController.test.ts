import { ServiceClass } from "../../catalogue/ServiceClass";
import { Clock } from "../../core/Clock";
import { AdmissionControllers } from "../AdmissionControllers";

class ManualClock extends Clock {
    public nowMs = 0;

    public override monotonicMs(): number {
        return this.nowMs;
    }

    public override wallMs(): number {
        return this.nowMs;
    }
}

describe("admission while the node stops", () => {
    const SERVICE_MS = 100;
    const limits = () => ({ maximumConcurrent: 1, maximumQueued: 10 });

    /** A controller that has learned how long requests take, and a function that asks it for admission. */
    const create = async () => {
        const clock = new ManualClock();
        const controllers = new AdmissionControllers(clock);
        const admit = () =>
            controllers.of("map", limits).admit({
                class: ServiceClass.Standard,
                caller: "caller",
                deadlineMs: clock.nowMs + 60_000,
                signal: new AbortController().signal,
            });
        for (let count = 0; count < 50; count += 1) {
            const admission = await admit();
            clock.nowMs += SERVICE_MS;
            if (admission.admitted) {
                admission.release();
            }
        }
        return { admit, clock, controllers };
    };

    // Guards against review/8 in src/proxy: a node that stops admitted what could not end before its own end.
    test("refuses a request that can't end before the node does, although a slot is free", async () => {
        const { admit, clock, controllers } = await create();
        controllers.limitTo(clock.nowMs + SERVICE_MS / 2);
        expect(await admit()).toMatchObject({ admitted: false });
    });

    test("serves one that can, and refuses one that would have to wait too long", async () => {
        const { admit, clock, controllers } = await create();
        controllers.limitTo(clock.nowMs + SERVICE_MS * 1.5);
        const running = await admit();
        expect(running.admitted).toBe(true);
        expect(await admit()).toMatchObject({ admitted: false });
    });

    test("refuses what is still queued, and applies to services that are seen first", async () => {
        const { admit, clock, controllers } = await create();
        expect((await admit()).admitted).toBe(true);
        const queued = admit();
        controllers.refuseQueued();
        expect(await queued).toMatchObject({ admitted: false });
        controllers.limitTo(clock.nowMs);
        const first = await controllers.of("other", limits).admit({
            class: ServiceClass.Standard,
            caller: "caller",
            deadlineMs: clock.nowMs + 60_000,
            signal: new AbortController().signal,
        });
        expect(first).toMatchObject({ admitted: false });
    });
});
