import { step } from "../consensus/step";
import { createModel } from "../model/createModel";
import { exploreModel } from "../model/exploreModel";
import { modelBounds } from "../model/modelBounds";
import { ModelBudget } from "../model/ModelBudget";
import { runProgram } from "../process/runProgram";

const MAXIMUM_STATES = 8_000_000;

const formatBudget = (budget: ModelBudget): string =>
    Object.entries(budget).filter(([, count]) => count > 0).map(([kind, count]) => `${kind}=${count}`).join(" ");

runProgram(async () => {
    let allHold = true;
    for (const { budget, learners, name, voters } of modelBounds) {
        const startedMs = performance.now();
        const { exhausted, mostCommitted, states, trace, violation } = exploreModel(
            createModel(voters, learners, budget),
            (state, input) => step(state, input),
            MAXIMUM_STATES,
        );
        const seconds = ((performance.now() - startedMs) / 1_000).toFixed(1);
        const verdict = violation ?? (exhausted ? "holds" : "NOT EXHAUSTED");
        const bound = `voters=${voters.length} learners=${learners.length} ${formatBudget(budget)}`;
        process.stdout.write(
            `${name}: ${verdict}; ${states} states, ${mostCommitted} committed, ${seconds} s; ${bound}\n`,
        );
        trace.forEach((event) => process.stdout.write(`  ${JSON.stringify(event)}\n`));
        allHold &&= exhausted && !violation;
    }
    process.exit(allHold ? 0 : 1);
});
