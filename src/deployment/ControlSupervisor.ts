import { Disposable } from "../core/Disposable";
import { openLogOutput } from "../core/openLogOutput";
import { pause } from "../core/pause";
import { MetricsServer } from "../metrics/MetricsServer";
import { parseAddressOrDefault } from "../transport/parseAddressOrDefault";
import { ControlMetrics } from "./ControlMetrics";
import { createDeploymentControl } from "./createDeploymentControl";
import { DeploymentControlSettings } from "./DeploymentControlSettings";

type DeploymentControl = Awaited<ReturnType<typeof createDeploymentControl>>;

/** A full disk may have space again at any time, but more frequent attempts would only fill the log. */
const RESTART_DELAY_MS = 1_000;

/**
 * Keeps a control replica running. After a failed disk write the replica's state in memory may differ from what is on
 * disk, so the replica is stopped and restarted from the disk, as after a crash.
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

    /** @param create starts a replica; tests replace it */
    public constructor(settings: DeploymentControlSettings, private readonly create = createDeploymentControl) {
        this.settings = settings;
    }

    /** The running replica; undefined before the start and while it restarts. */
    public get current(): DeploymentControl | undefined {
        return this.control;
    }

    /** Starts the replica and its metrics server. Rejects if the settings or the disk prevent the start. */
    public async start(): Promise<DeploymentControl> {
        const { metricsPort, peerAddress } = this.settings;
        const control = await this.startReplica();
        if (metricsPort !== undefined) {
            await this.metricsServer.listen({ host: parseAddressOrDefault(peerAddress).host, port: metricsPort });
        }
        return control;
    }

    /** Replaces the peer addresses of the seeds, also for later restarts. */
    public setSeeds(seeds: readonly string[]): void {
        this.settings = { ...this.settings, seeds };
        this.control?.setSeeds(seeds);
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
        const failures: Error[] = [];
        let isStarted = false;
        const control = await this.create(this.settings, this.output, this.metrics, (error) => {
            failures.push(error);
            if (isStarted && this.control === control) {
                void this.restart(control);
            }
        });
        // A replica that failed while it started would never do anything again.
        if (failures.length > 0) {
            await this.disposeFailed(control);
            throw failures[0];
        }
        isStarted = true;
        this.control = control;
        return control;
    }

    private async restart(failedControl: DeploymentControl): Promise<void> {
        this.metrics.countDiskFailure();
        this.control = undefined;
        await this.disposeFailed(failedControl);
        // The first start is over: either the identity is on the disk, or the disk is lost and the replica must join
        // the existing group instead of founding a new one.
        this.settings = { ...this.settings, isFirstStart: false };
        while (!this.stopping && !this.control) {
            await pause(RESTART_DELAY_MS);
            await this.tryStart(failedControl);
        }
    }

    private async tryStart({ log }: DeploymentControl): Promise<void> {
        try {
            await this.startReplica();
            log.info("control-restarted");
        }
        catch (error) {
            log.error("control-restart-failed", { reason: (error as Error).message });
        }
    }

    /** Stops a replica. Its files may be in a state in which they can't be closed; another start opens them anew. */
    private async disposeFailed(control: DeploymentControl): Promise<void> {
        try {
            await control.dispose();
        }
        catch (error) {
            control.log.error("control-stop-failed", { reason: (error as Error).message });
        }
    }
}
