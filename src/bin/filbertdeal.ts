#!/usr/bin/env node
import { runCommandLine } from "../cli/runCommandLine";

void runCommandLine(process.argv.slice(2), {
    print: (text) => void process.stdout.write(`${text}\n`),
    printError: (text) => void process.stderr.write(`${text}\n`),
    exit: (code) => {
        process.exitCode = code;
    },
});
