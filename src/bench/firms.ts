import { Firm } from "./Firm";

/** The firms that the bench emulates. */
export const firms: Readonly<Record<Firm["name"], Firm>> = {
    lipa: {
        name: "lipa",
        service: "lipa-map",
        instances: 8,
        otherService: "lipa-survey",
        otherInstances: 4,
        slots: 12,
        overloadLatencyMs: 400,
        readPath: "/tiles/12/7/3",
        orderPath: "/orders",
    },
    bursa: {
        name: "bursa",
        service: "bursa-stock",
        instances: 8,
        otherService: "bursa-dispatch",
        otherInstances: 4,
        slots: 6,
        overloadLatencyMs: 200,
        readPath: "/blanks/walnut",
        orderPath: "/reservations",
    },
};
