const entities: Readonly<Record<string, string>> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", "\"": "&quot;" };

/** Escapes a text for use in HTML content and in double-quoted attributes. */
export const escapeHtml = (text: string): string => text.replace(/[&<>"]/g, (character) => entities[character]);
