/** A setting of a program, given by a flag or by an environment variable whose name is derived from the flag. */
export type SettingOption = {
    /** The flag and its argument in the notation of commander, for example "--peer-address <ip:port>". */
    readonly flags: string;
    readonly description: string;
};
