// Package customer finds the customer of a request by its key, and what the customer's own priority and regions change in a route.
package customer
