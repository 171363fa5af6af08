package keyed

// MaxUnixMilli is the last millisecond of the year 9999 in Unix time. Records with a later time are invalid, since it
// can't be encoded as text.
const MaxUnixMilli = 253402300799999
