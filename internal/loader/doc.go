// Package loader reads the settings of one entry host and the deployment file
// that fills an empty control state. Both are JSON with comments. Unknown
// members are refused, and all problems of a file are reported together with
// their positions.
//
// The package keeps no state; its functions may be called from any number of
// goroutines.
package loader
