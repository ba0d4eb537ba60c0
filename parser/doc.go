// Package parser parses the lists of plans and allowances from YAML and validates
// them. It returns every fault with its line and column. docs/LISTS.md describes
// the format.
package parser
