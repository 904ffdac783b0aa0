import { RandomSource } from "../../core/RandomSource";

/** Standard deviation of the logarithm. */
const LOG_DEVIATION = 0.8;

/** Draws a work time; those of one route are log-normally distributed. */
export const logNormal = (random: RandomSource, mean: number): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
    return mean * Math.exp(LOG_DEVIATION * normal - LOG_DEVIATION ** 2 / 2);
};
