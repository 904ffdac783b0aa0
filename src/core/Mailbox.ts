import { Disposable } from "./Disposable";

/**
 * The message queue of a task. Messages are handled one at a time, in the order of arrival: if the handler returns a
 * promise, the next message waits until it settles.
 */
export class Mailbox<Message> implements Disposable {
    private queue: Message[] = [];
    private running = false;
    private closed = false;

    public constructor(
        private readonly handle: (message: Message) => void | Promise<void>,
        private readonly onFailure: (error: Error) => void,
    ) {}

    public post(message: Message): void {
        if (this.closed) {
            return;
        }
        this.queue.push(message);
        if (!this.running) {
            void this.drain();
        }
    }

    public dispose(): void {
        this.closed = true;
        this.queue = [];
    }

    private async drain(): Promise<void> {
        this.running = true;
        try {
            while (this.queue.length > 0) {
                const batch = this.queue;
                this.queue = [];
                await this.handleBatch(batch);
            }
        }
        finally {
            this.running = false;
        }
    }

    private async handleBatch(batch: readonly Message[]): Promise<void> {
        for (const message of batch) {
            if (this.closed) {
                return;
            }
            try {
                await this.handle(message);
            }
            catch (error) {
                this.onFailure(error as Error);
            }
        }
    }
}
