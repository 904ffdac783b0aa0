import { Disposable } from "../core/Disposable";
import { openLogOutput } from "../core/openLogOutput";
import { pause } from "../core/pause";
import { MetricsServer } from "../metrics/MetricsServer";
import { addressOf } from "../transport/addressOf";
import { ControlMetrics } from "./ControlMetrics";
import { createDeploymentControl } from "./createDeploymentControl";
import { DeploymentControlSettings } from "./DeploymentControlSettings";

type DeploymentControl = Awaited<ReturnType<typeof createDeploymentControl>>;

/** A full disk may have room again at any time; more frequent attempts would only fill the log. */
const RESTART_DELAY_MS = 1_000;

/**
 * Keeps a control replica running. A replica whose disk refused a write knows no longer what it holds, so it is
 * stopped and started anew from the disk, as after a crash.
 */
export class ControlSupervisor implements Disposable {
    private readonly output = openLogOutput();
    private readonly metrics: ControlMetrics = new ControlMetrics(
        () => this.control?.readings(),
        () => this.output.droppedLines(),
    );
    private readonly metricsServer = new MetricsServer(this.metrics.registry);
    private control: DeploymentControl | undefined;
    private settings: DeploymentControlSettings;
    private stopping = false;

    /** @param create starts a replica; tests give one of their own */
    public constructor(settings: DeploymentControlSettings, private readonly create = createDeploymentControl) {
        this.settings = settings;
    }

    /** Undefined while the replica is being started anew. */
    public get present(): DeploymentControl | undefined {
        return this.control;
    }

    /** Starts the replica. Rejects if its settings or its disk make a start impossible. */
    public async start(): Promise<DeploymentControl> {
        const { metricsPort, peerAddress } = this.settings;
        const control = await this.startReplica();
        if (metricsPort !== undefined) {
            await this.metricsServer.listen({ host: addressOf(peerAddress).host, port: metricsPort });
        }
        return control;
    }

    public followSeeds(seeds: readonly string[]): void {
        this.settings = { ...this.settings, seeds };
        this.control?.followSeeds(seeds);
    }

    public async stop(): Promise<void> {
        this.stopping = true;
        this.metricsServer.dispose();
        await this.control?.stop();
        this.output.close();
    }

    public dispose(): Promise<void> {
        return this.stop();
    }

    private async startReplica(): Promise<DeploymentControl> {
        const control = await this.create(this.settings, this.output, this.metrics, () => void this.restart());
        this.control = control;
        return control;
    }

    private async restart(): Promise<void> {
        this.metrics.countDiskFailure();
        const failed = this.control;
        this.control = undefined;
        await failed?.dispose();
        // What was the first start has happened: the identity is on the disk, or the disk is lost.
        this.settings = { ...this.settings, isFirstStart: false };
        while (!this.stopping && !this.control) {
            await pause(RESTART_DELAY_MS);
            await this.tryStart(failed);
        }
    }

    private async tryStart(failed: DeploymentControl | undefined): Promise<void> {
        try {
            await this.startReplica();
            failed?.log.info("control-restarted");
        }
        catch (error) {
            failed?.log.error("control-restart-failed", { reason: (error as Error).message });
        }
    }
}
