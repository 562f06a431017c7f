/** Returns whether a name can be one field of a line: it is not empty and contains no space, control character or line separator, and no half of a surrogate pair, which has no form in UTF-8. */
export function isFieldName(name: string): boolean {
	return /^[^ \p{Cc}\p{Cs}\u2028\u2029]+$/v.test(name);
}
