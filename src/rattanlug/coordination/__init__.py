"""What a VM knows of the fleet and of the platform, and how old it is."""
