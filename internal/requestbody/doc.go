// Package requestbody reads the bodies of callers' requests in bounded memory and time, and answers callers whose body it does
// not read.
//
// A body is kept in segments, which are allocated as it arrives: it occupies little more than what was received, and is not
// copied as it grows. The framing of a chunked body counts as memory, too, since reading it takes as long as reading content.
// The package does not decide which body is dropped: callermemory does.
package requestbody
