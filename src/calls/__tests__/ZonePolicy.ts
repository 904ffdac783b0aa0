/**
 * The policies that are compared: a fixed cost of leaving the zone, `BackendSelector`, and the filling of zones by their
 * capacity.
 */
export type ZonePolicy = "threshold" | "price" | "capacity";
