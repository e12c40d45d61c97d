package front

import "unicode/utf8"

// completeRunes returns the length of the longest prefix of p that ends with a
// complete UTF-8 character, so that no event splits one. It returns len(p) if none
// of the last utf8.UTFMax positions ends one: invalid UTF-8 is passed on unchanged,
// and so is p if it contains only the start of a character.
func completeRunes(p []byte) int {
	for n := len(p); n > 0 && n > len(p)-utf8.UTFMax; n-- {
		if r, size := utf8.DecodeLastRune(p[:n]); r != utf8.RuneError || size > 1 {
			return n
		}
	}
	return len(p)
}
