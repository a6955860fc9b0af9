"""Stand-ins and checks that the review's scripts share."""
