// Package placer chooses workers for tasks. It estimates from observations what
// each kind of task uses and how much kinds slow each other down, and minimises
// the cost weighted by the site's weights.
package placer
