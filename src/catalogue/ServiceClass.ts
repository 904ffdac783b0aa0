/**
 * The priority of a service's calls. It determines the order in which queued calls are admitted and which entries an
 * operator token may change.
 */
export enum ServiceClass {
    Critical = "critical",
    Standard = "standard",
    Bulk = "bulk",
}
