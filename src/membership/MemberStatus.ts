/** What is believed of a member. The order of the values is the order of strength for equal sequences. */
export enum MemberStatus {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
    /** The member said itself that it leaves. This holds for its whole incarnation. */
    Left = 3,
}
