const entities: Readonly<Record<string, string>> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", "\"": "&quot;" };

/** Makes a text safe to stand in HTML. */
export const escapeHtml = (text: string): string => text.replace(/[&<>"]/g, (character) => entities[character]);
