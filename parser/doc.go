// Package parser parses the lists of plans and allowances from YAML and validates
// them. It returns faults with their line and column where they have one.
// docs/LISTS.md describes the format.
package parser
