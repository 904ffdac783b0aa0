/** Which task of the receiving process a message is for. */
export enum Channel {
    Consensus = "consensus",
    Distribution = "distribution",
    Membership = "membership",
}
