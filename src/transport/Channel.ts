/** The task of the receiving process that a message is addressed to. */
export enum Channel {
    Consensus = "consensus",
    Distribution = "distribution",
    Membership = "membership",
    /** Versions of the mesh configuration, sent from the control plane to the nodes. */
    Configuration = "configuration",
    /** Requests of control replicas to join the consensus group. */
    Group = "group",
    /** Call requests and their results between nodes. */
    Calls = "calls",
}
