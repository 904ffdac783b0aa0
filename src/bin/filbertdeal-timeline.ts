#!/usr/bin/env node
import { Command } from "commander";
import { writeFile } from "node:fs/promises";
import { runProgram } from "../process/runProgram";
import { countLosses } from "../timeline/countLosses";
import { formatLosses } from "../timeline/formatLosses";
import { formatTimeline } from "../timeline/formatTimeline";
import { readTimeline } from "../timeline/readTimeline";
import { renderTimelinePage } from "../timeline/renderTimelinePage";
import { TimelineFilter } from "../timeline/TimelineFilter";

type Options = TimelineFilter & { readonly html?: string; readonly losses?: boolean; };

runProgram(async () => {
    const program = new Command("filbertdeal-timeline")
        .description("Merges the event logs of all processes into one time line in causal order.")
        .argument("<log...>", "log files, one for each process")
        .option("--service <name>", "only events of this service")
        .option("--version <number>", "only events of this version")
        .option("--process <id>", "only events of this process")
        .option("--event <name>", "only events with this name")
        .option("--request-id <id>", "only events of this request")
        .option("--losses", "count the requests that were refused, failed or late, by second, route and reason")
        .option("--html <file>", "write an HTML page to this file instead of printing text");
    program.parse();
    const { html, losses, ...filter } = program.opts<Options>();
    let skippedLines = 0;
    const events = await readTimeline(program.args, filter, () => {
        skippedLines += 1;
    });
    if (losses) {
        process.stdout.write(`${formatLosses(countLosses(events))}\n`);
        process.stderr.write(`${skippedLines} lines are not events\n`);
        return;
    }
    if (html) {
        await writeFile(html, renderTimelinePage(events));
        return;
    }
    process.stdout.write(`${formatTimeline(events)}\n`);
});
