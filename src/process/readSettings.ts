import { Command, Option } from "commander";
import * as z from "zod";
import { parseSettings } from "../core/parseSettings";
import { SettingOption } from "./SettingOption";

const environmentName = (option: Option): string =>
    `FILBERTDEAL_${option.attributeName().replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;

/**
 * Reads a program's settings from its flags and environment variables; flags take precedence.
 * @throws FilbertdealError of kind SettingsInvalid that lists all invalid settings at once
 */
export const readSettings = <Schema extends z.ZodType>(
    name: string,
    description: string,
    options: readonly SettingOption[],
    schema: Schema,
): z.infer<Schema> => {
    const program = new Command(name).description(description);
    for (const { description: text, flags } of options) {
        const option = new Option(flags, text);
        program.addOption(option.env(environmentName(option)));
    }
    program.parse();
    return parseSettings(schema, program.opts());
};
