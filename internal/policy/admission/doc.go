// Package admission decides which waiting request starts next and which is refused, by rank, floor, fairness and deadline.
package admission
