/** Tests run on the compiled output so that they exercise what ships. */
module.exports = {
    testEnvironment: "node",
    roots: ["<rootDir>/dist"],
    testMatch: ["**/__tests__/**/*.test.js"],
    testTimeout: 90000,
    maxWorkers: 4,
};
