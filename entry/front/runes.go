package front

import "unicode/utf8"

// completeRunes returns the length of the longest prefix of p that doesn't end within
// a UTF-8 character, so that no event splits one. It is 0 if p holds only the start of
// a character. Invalid UTF-8 counts as complete.
func completeRunes(p []byte) int {
	for n := len(p) - 1; n >= 0 && n > len(p)-utf8.UTFMax; n-- {
		if !utf8.RuneStart(p[n]) {
			continue
		}
		if utf8.FullRune(p[n:]) {
			return len(p)
		}
		return n
	}
	return len(p)
}
