package settings

import "fmt"

// maxEditDistance is the maximum Levenshtein distance between a misspelt word and
// its suggestion.
const maxEditDistance = 3

// suggestion returns a question that names the closest candidate, or "" if no
// candidate is similar to the word.
func suggestion(word string, candidates []string) string {
	best, bestDistance := "", maxEditDistance+1
	for _, c := range candidates {
		if distance := editDistance(word, c); distance < bestDistance && distance < len(c) {
			best, bestDistance = c, distance
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", best)
}

// editDistance returns the Levenshtein distance between two words. If their
// lengths differ by more than maxEditDistance, it returns maxEditDistance+1
// without comparing them.
func editDistance(a, b string) int {
	if len(a)-len(b) > maxEditDistance || len(b)-len(a) > maxEditDistance {
		return maxEditDistance + 1
	}
	distances := make([]int, len(b)+1)
	for j := range distances {
		distances[j] = j
	}
	for i := range len(a) {
		diagonal := distances[0]
		distances[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = distances[j+1]
			distances[j+1] = min(distances[j]+1, distances[j+1]+1, substitute)
		}
	}
	return distances[len(b)]
}
