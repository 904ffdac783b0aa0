/** The part that a replica plays in the present term. */
export enum Role {
    Follower = "follower",
    PreCandidate = "pre-candidate",
    Candidate = "candidate",
    Leader = "leader",
}
