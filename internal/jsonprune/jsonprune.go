// Package jsonprune removes deep nesting from JSON before it is decoded. Decoders
// fail on a document as a whole when one value in it is nested too deeply; after
// pruning, only that value is lost.
package jsonprune

// Prune returns the JSON document with null in place of each object and array that
// is nested in depth others. The result is the document itself if it has none. Text
// that isn't valid JSON remains invalid, except within what is replaced.
func Prune(data []byte, depth int) []byte {
	var out []byte
	level, copied := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
		case '[', '{':
			if level == depth {
				end := containerEnd(data, i)
				if end < 0 {
					return data // cut off
				}
				out = append(append(out, data[copied:i]...), "null"...)
				i, copied = end, end+1
				continue
			}
			level++
		case ']', '}':
			level--
		}
	}
	if copied == 0 {
		return data
	}
	return append(out, data[copied:]...)
}

// stringEnd returns the index of the quote that ends the string that begins at start,
// or the index of the last byte if the string is cut off.
func stringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '"':
			return i
		case '\\':
			i++ // the escaped character
		}
	}
	return len(data) - 1
}

// containerEnd returns the index of the bracket that ends the object or array that
// begins at start, or -1 if it is cut off.
func containerEnd(data []byte, start int) int {
	level := 0
	for i := start; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
		case '[', '{':
			level++
		case ']', '}':
			if level--; level == 0 {
				return i
			}
		}
	}
	return -1
}
