/** A line through measured points. */
type Line = {
    readonly intercept: number;
    readonly slope: number;
    /** Distance of each point from the line, in the order of the points. */
    readonly residuals: readonly number[];
};

/** One measured point. */
type Point = {
    readonly x: number;
    readonly y: number;
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fits a line by least squares. Needs points at two sizes at least. */
export const fitLine = (points: readonly Point[]): Line => {
    const centreX = mean(points.map(({ x }) => x));
    const centreY = mean(points.map(({ y }) => y));
    const spread = points.reduce((sum, { x }) => sum + (x - centreX) ** 2, 0);
    const shared = points.reduce((sum, { x, y }) => sum + (x - centreX) * (y - centreY), 0);
    const slope = shared / spread;
    const intercept = centreY - slope * centreX;
    return { intercept, slope, residuals: points.map(({ x, y }) => y - intercept - slope * x) };
};
