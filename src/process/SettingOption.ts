/** A setting of a program: a flag, and an environment variable of the same name. */
export type SettingOption = {
    /** As commander writes it, for example "--peer-address <ip:port>". */
    readonly flags: string;
    readonly description: string;
};
