/** The line `y = intercept + slope * x`. */
type Line = {
    readonly intercept: number;
    readonly slope: number;
    /** Vertical distance of each point from the line, positive above it, in the order of the points. */
    readonly residuals: readonly number[];
};

/** One measured point. */
type Point = {
    readonly x: number;
    readonly y: number;
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fits a line by least squares. The points must have at least two different values of `x`. */
export const fitLine = (points: readonly Point[]): Line => {
    const meanX = mean(points.map(({ x }) => x));
    const meanY = mean(points.map(({ y }) => y));
    const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const sumOfProducts = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    const slope = sumOfProducts / sumOfSquares;
    const intercept = meanY - slope * meanX;
    return { intercept, slope, residuals: points.map(({ x, y }) => y - intercept - slope * x) };
};
