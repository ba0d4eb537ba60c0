// Package controller holds the commands of pvalvectl. Each calls an entry,
// prints tables for people or JSON for scripts, and ends with an exit code.
package controller
