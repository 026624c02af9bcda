// Package cassiastatus checks the status lines of HTTP/1.1 replies before net/http parses them: a status that is not exactly three
// digits from 200 to 599, after at most maxInterim interim replies, is malformed.
//
// net/http takes any three characters that strconv.Atoi takes, such as 000 and +20, and lets callers wait for a final reply after a
// number below 200.
package cassiastatus
