import { ChildProcess, spawn } from "node:child_process";
import { createWriteStream, WriteStream } from "node:fs";
import { createInterface } from "node:readline";
import { parseLogLine } from "../core/parseLogLine";

type LogEvent = ReadonlyMap<string, string>;

type Waiter = {
    readonly matches: (event: LogEvent) => boolean;
    readonly resolve: (event: LogEvent) => void;
    readonly reject: (error: Error) => void;
};

/** A child process of an emulated mesh. Parses the log lines on its stdout as events and writes them to a file. */
export class ManagedProcess {
    private readonly child: ChildProcess;
    private readonly events: LogEvent[] = [];
    private readonly exited: Promise<void>;
    private waiters: Waiter[] = [];
    private stderrText = "";
    private readonly logFile: WriteStream;

    public constructor(
        public readonly name: string,
        program: string,
        programArguments: readonly string[],
        logPath: string,
        environment: Readonly<Record<string, string>> = {},
    ) {
        this.logFile = createWriteStream(logPath, { flags: "a" });
        this.child = spawn(process.execPath, [program, ...programArguments], {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...environment },
        });
        if (this.child.stdout) {
            createInterface({ input: this.child.stdout }).on("line", (line) => this.handleLine(line));
        }
        this.child.stderr?.on("data", (chunk) => {
            this.stderrText += String(chunk);
        });
        this.exited = new Promise((resolve) => this.child.once("exit", () => resolve()));
        void this.exited.then(() => this.rejectWaiters());
    }

    public get isRunning(): boolean {
        return typeof this.child.exitCode !== "number" && !this.child.signalCode;
    }

    public get processId(): number {
        return this.child.pid ?? 0;
    }

    public get exitCode(): number | undefined {
        return this.child.exitCode ?? undefined;
    }

    /** All events logged so far, in order. */
    public get history(): readonly LogEvent[] {
        return this.events;
    }

    /** Resolves with the first matching event, logged already or later. Rejects if the process exits first. */
    public waitFor(eventName: string, matches: (event: LogEvent) => boolean = () => true): Promise<LogEvent> {
        const isExpected = (event: LogEvent): boolean => event.get("event") === eventName && matches(event);
        const loggedEvent = this.events.find(isExpected);
        if (loggedEvent) {
            return Promise.resolve(loggedEvent);
        }
        return new Promise((resolve, reject) => {
            this.waiters.push({ matches: isExpected, resolve, reject });
            if (!this.isRunning) {
                this.rejectWaiters();
            }
        });
    }

    /** Sends a signal and waits until the process has exited. */
    public async end(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
        this.child.kill(signal);
        await this.exited;
    }

    /** Suspends the process (SIGSTOP), resumes it (SIGCONT) or makes it reload its settings (SIGHUP). */
    public signal(signal: "SIGSTOP" | "SIGCONT" | "SIGHUP"): void {
        this.child.kill(signal);
    }

    private handleLine(line: string): void {
        this.logFile.write(`${line}\n`);
        const event = parseLogLine(line);
        if (!event) {
            return;
        }
        this.events.push(event);
        const fulfilled = this.waiters.filter(({ matches }) => matches(event));
        this.waiters = this.waiters.filter((waiter) => !fulfilled.includes(waiter));
        fulfilled.forEach(({ resolve }) => resolve(event));
    }

    private rejectWaiters(): void {
        const waiters = this.waiters;
        this.waiters = [];
        waiters.forEach(({ reject }) => reject(new Error(`${this.name} exited: ${this.stderrText.slice(-2_000)}`)));
        this.logFile.end();
    }
}
