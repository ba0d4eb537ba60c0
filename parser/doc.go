// Package parser reads the two lists from YAML and checks them, with the line
// and column of every fault. docs/LISTS.md describes the format.
package parser
