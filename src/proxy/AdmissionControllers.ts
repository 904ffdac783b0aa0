import { Clock } from "../core/Clock";
import { AdmissionController } from "./AdmissionController";

type Limits = ConstructorParameters<typeof AdmissionController>[1];

/** The admission controllers of a server, by key. All of them learn when the node stops. */
export class AdmissionControllers {
    private readonly controllers = new Map<string, AdmissionController>();
    private endMs: number | undefined;

    public constructor(private readonly clock: Clock) {}

    /** @param limits of a controller that does not exist yet */
    public of(key: string, limits: Limits): AdmissionController {
        const existing = this.controllers.get(key);
        if (existing) {
            return existing;
        }
        const controller = new AdmissionController(this.clock, limits);
        this.controllers.set(key, controller);
        if (this.endMs !== undefined) {
            controller.limitTo(this.endMs);
        }
        return controller;
    }

    /** See `AdmissionController.limitTo`. */
    public limitTo(endMs: number): void {
        this.endMs = endMs;
        this.controllers.forEach((controller) => controller.limitTo(endMs));
    }

    /** See `AdmissionController.refuseQueued`. */
    public refuseQueued(): void {
        this.controllers.forEach((controller) => controller.refuseQueued());
    }
}
