/** Which task of the receiving process a message is for. */
export enum Channel {
    Consensus = "consensus",
    Distribution = "distribution",
    Membership = "membership",
    /** Versions of the mesh configuration, from control to the nodes. */
    Configuration = "configuration",
    /** Control replicas that ask to join the group. */
    Group = "group",
    /** Requests between nodes. */
    Calls = "calls",
}
