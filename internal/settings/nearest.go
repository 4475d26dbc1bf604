package settings

import "fmt"

// maxEdits bounds how far a misspelt word may be from its suggestion.
const maxEdits = 3

// suggestion returns the closest candidate as a question, or "".
func suggestion(word string, candidates []string) string {
	best, edits := "", maxEdits+1
	for _, c := range candidates {
		if d := distance(word, c); d < edits && d < len(c) {
			best, edits = c, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", best)
}

// distance is the Levenshtein distance of two words. A word far longer than any
// candidate is not compared.
func distance(a, b string) int {
	if len(a)-len(b) > maxEdits || len(b)-len(a) > maxEdits {
		return maxEdits + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		previous := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := previous
			if a[i] != b[j] {
				substitute++
			}
			previous = row[j+1]
			row[j+1] = min(row[j]+1, row[j+1]+1, substitute)
		}
	}
	return row[len(b)]
}
