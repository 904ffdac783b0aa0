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

/** A process of the emulated mesh. Its events can be waited for, and its log goes to a file. */
export class ManagedProcess {
    private readonly child: ChildProcess;
    private readonly events: LogEvent[] = [];
    private readonly exited: Promise<void>;
    private waiters: Waiter[] = [];
    private errorText = "";
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
            createInterface({ input: this.child.stdout }).on("line", (line) => this.takeLine(line));
        }
        this.child.stderr?.on("data", (chunk) => {
            this.errorText += String(chunk);
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

    /** All events so far. */
    public get history(): readonly LogEvent[] {
        return this.events;
    }

    /** Resolves with the first event that matches, past or future. Rejects if the process ends before. */
    public waitFor(eventName: string, matches: (event: LogEvent) => boolean = () => true): Promise<LogEvent> {
        const wanted = (event: LogEvent): boolean => event.get("event") === eventName && matches(event);
        const past = this.events.find(wanted);
        if (past) {
            return Promise.resolve(past);
        }
        return new Promise((resolve, reject) => {
            this.waiters.push({ matches: wanted, resolve, reject });
            if (!this.isRunning) {
                this.rejectWaiters();
            }
        });
    }

    /** Sends a signal and waits for the end of the process. */
    public async end(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
        this.child.kill(signal);
        await this.exited;
    }

    /** Stops the process without ending it, lets it go on, or has it read its settings again. */
    public signal(signal: "SIGSTOP" | "SIGCONT" | "SIGHUP"): void {
        this.child.kill(signal);
    }

    private takeLine(line: string): void {
        this.logFile.write(`${line}\n`);
        const event = parseLogLine(line);
        if (!event) {
            return;
        }
        this.events.push(event);
        const due = this.waiters.filter(({ matches }) => matches(event));
        this.waiters = this.waiters.filter((waiter) => !due.includes(waiter));
        due.forEach(({ resolve }) => resolve(event));
    }

    private rejectWaiters(): void {
        const waiters = this.waiters;
        this.waiters = [];
        waiters.forEach(({ reject }) => reject(new Error(`${this.name} ended: ${this.errorText.slice(-2_000)}`)));
        this.logFile.end();
    }
}
