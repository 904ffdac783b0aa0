const LOWEST_SERVER_ERROR = 500;

/** True for status codes 500 and above, which report a failure of the backend server. */
export const isServerError = (status: number): boolean => status >= LOWEST_SERVER_ERROR;
