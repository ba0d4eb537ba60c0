// Package controller implements the commands of pvalvectl. Each command calls an
// entry, prints tables or JSON, and returns an exit code.
package controller
