package front

import "unicode/utf8"

// wholeRunes returns how many bytes of p end with a whole character, so that no
// event divides one. Bytes that aren't UTF-8 are taken as they are.
func wholeRunes(p []byte) int {
	for n := len(p); n > 0 && n > len(p)-utf8.UTFMax; n-- {
		if r, size := utf8.DecodeLastRune(p[:n]); r != utf8.RuneError || size > 1 {
			return n
		}
	}
	return len(p)
}
