import { BackendNotice } from "./BackendNotice";
import { findHeader } from "./findHeader";
import { HeaderNames } from "./HeaderNames";

/** Reads the notice of a backend server from the headers of its response. A limit that is not a number is no limit. */
export const readBackendNotice = (headers: readonly string[], names: HeaderNames): BackendNotice => {
    const limit = findHeader(headers, names.requestLimit)?.trim();
    const limitPerSecond = limit ? Number(limit) : Number.NaN;
    return {
        limitPerSecond: Number.isFinite(limitPerSecond) && limitPerSecond >= 0 ? limitPerSecond : undefined,
        isLeaving: findHeader(headers, names.leaving)?.trim() === "1",
    };
};
