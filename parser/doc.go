// Package parser parses the lists of plans and allowances from YAML and validates
// them. It returns faults with their line and column where they have one.
// docs/LISTS.md describes the format.
//
// Files:
//   - format.go: YAML schema of the lists and its defaults
//   - parser.go: parsing, and the rules that the schema does not express
//   - validator.go: messages for violations of the schema's rules
package parser
