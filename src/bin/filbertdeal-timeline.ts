#!/usr/bin/env node
import { Command } from "commander";
import { writeFile } from "node:fs/promises";
import { runProgram } from "../process/runProgram";
import { formatTimeline } from "../timeline/formatTimeline";
import { readTimeline } from "../timeline/readTimeline";
import { renderTimelinePage } from "../timeline/renderTimelinePage";
import { TimelineFilter } from "../timeline/TimelineFilter";

type Options = TimelineFilter & { readonly html?: string; };

runProgram(async () => {
    const program = new Command("filbertdeal-timeline")
        .description("Merges the event logs of all processes into one time line in causal order.")
        .argument("<log...>", "log files, one for each process")
        .option("--service <name>", "only events of this service")
        .option("--version <number>", "only events of this version")
        .option("--process <id>", "only events of this process")
        .option("--event <name>", "only events with this name")
        .option("--request-id <id>", "only events of this request")
        .option("--html <file>", "write an HTML page to this file instead of printing text");
    program.parse();
    const { html, ...filter } = program.opts<Options>();
    const events = await readTimeline(program.args, filter);
    if (html) {
        await writeFile(html, renderTimelinePage(events));
        return;
    }
    process.stdout.write(`${formatTimeline(events)}\n`);
});
