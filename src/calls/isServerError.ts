const LOWEST_SERVER_ERROR = 500;

/** True for a status by which a backend server says that it failed. */
export const isServerError = (status: number): boolean => status >= LOWEST_SERVER_ERROR;
