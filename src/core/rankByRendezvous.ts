import { hashFraction } from "./hashFraction";

/**
 * Orders candidates by rendezvous hashing for a key, highest score first. Adding or removing a candidate does not
 * change the order of the others.
 */
export const rankByRendezvous = (key: string, candidates: readonly string[]): readonly string[] =>
    candidates
        .map((candidate) => ({ candidate, score: hashFraction(`${key}/${candidate}`) }))
        .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
        .map(({ candidate }) => candidate);
