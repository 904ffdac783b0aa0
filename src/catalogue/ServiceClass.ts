/** How much a service's calls matter. It sets the order of admission and the scope of operator tokens. */
export enum ServiceClass {
    Critical = "critical",
    Standard = "standard",
    Bulk = "bulk",
}
