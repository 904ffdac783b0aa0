/** Health of a member. For equal incarnation and sequence the record with the higher status wins. */
export enum MemberStatus {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
    /** The member announced its own departure. This is final for its incarnation. */
    Left = 3,
}
